/**
 * Writes docs/operating/SETTINGS.md from the settings schemas: types, bounds and defaults from the built
 * schemas, what a setting means from its doc comment. `--check` writes nothing and fails on any difference.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import {
  batchControlSettingsSchema,
  batchEntrySettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  upstreamSettingsSchema,
} from '@nettlespur/settings.schemas'
import { format, resolveConfig } from 'prettier'
import { z } from 'zod'

const root = path.resolve(import.meta.dirname, '..')
const page = path.join(root, 'docs', 'operating', 'SETTINGS.md')
const sources = path.join(root, 'settings', 'schemas', 'src')
const common = readComments('commonSettings.ts')

const programs = [
  ['nettlespur-control', controlSettingsSchema, readComments('controlSettings.ts')],
  ['nettlespur-entry', entrySettingsSchema, readComments('entrySettings.ts')],
  ['Control of batch work', batchControlSettingsSchema, readComments('batchSettings.ts')],
  ['Entry of batch work', batchEntrySettingsSchema, readComments('batchSettings.ts')],
  ['Stand-in upstream', upstreamSettingsSchema, readComments('upstreamSettings.ts')],
]

const text = await format(renderPage(), { ...(await resolveConfig(page)), filepath: page })
if (!process.argv.includes('--check')) {
  writeFileSync(page, text)
} else if (readFileSync(page, 'utf8') !== text) {
  console.error('docs/operating/SETTINGS.md is not in step: run npm run docs:settings')
  process.exit(1)
}

function renderPage() {
  const parts = programs.map(([name, schema, comments]) => renderProgram(name, schema, comments))
  return `# Settings reference

Generated from the schemas by \`npm run docs:settings\`; edit the schemas instead. Settings are YAML. Paths
are taken from the folder of the settings file; addresses are IP numbers with ports. A field not listed here
is a fault: \`nettlespur settings check FILE\` names it by line.

${parts.join('\n')}`
}

function renderProgram(name, schema, comments) {
  const rows = listFields(z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }), '')
  const lines = rows.map(({ path: field, type, allowed, fallback }) => {
    const leaf = field.split('.').at(-1).replace('[]', '')
    const meaning = comments.get(leaf) ?? common.get(leaf) ?? ''
    return `| \`${field}\` | ${type} | ${allowed} | ${fallback} | ${meaning} |`
  })
  const head = '| field | type | allowed | default | meaning |\n| --- | --- | --- | --- | --- |'
  return `## ${name}\n\n${head}\n${lines.join('\n')}\n`
}

function listFields(schema, prefix, within = '') {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const fieldPath = prefix + name
    const required = (schema.required ?? []).includes(name)
    if (field.type === 'object') {
      const optional = field.default === undefined && !required
      return listFields(field, `${fieldPath}.`, optional ? ` within \`${fieldPath}\`` : within)
    }
    if (field.type === 'array' && field.items.type === 'object') {
      return listFields(field.items, `${fieldPath}[].`)
    }
    return [{ path: fieldPath, ...describeField(field, required ? `required${within}` : 'absent') }]
  })
}

function describeField(field, otherwise) {
  const value = field.type === 'array' ? field.items : field
  const list = field.type === 'array' ? 'list of ' : ''
  const fallback = field.default === undefined ? otherwise : code(field.default)
  return { type: list + (value.type ?? 'any'), allowed: describeAllowed(field, value), fallback }
}

function describeAllowed(field, value) {
  if (value.enum !== undefined) return value.enum.map(code).join(', ')
  const bounds = [
    value.description ?? '',
    value.minimum === undefined || value.minimum === Number.MIN_SAFE_INTEGER
      ? ''
      : `≥ ${value.minimum}`,
    value.exclusiveMinimum === undefined ? '' : `> ${value.exclusiveMinimum}`,
    value.maximum === undefined || value.maximum === Number.MAX_SAFE_INTEGER
      ? ''
      : `≤ ${value.maximum}`,
    field.minItems === undefined ? '' : `${field.minItems} or more`,
    field.maxItems === undefined ? '' : `at most ${field.maxItems}`,
  ]
  return bounds.filter((bound) => bound !== '').join(', ')
}

function code(value) {
  return `\`${String(value)}\``
}

/** The doc comment right above each field of a schema file. */
function readComments(file) {
  const source = readFileSync(path.join(sources, file), 'utf8')
  const found = source.matchAll(/^ +\/\*\* (.+?) \*\/\n +(\w+):/gm)
  return new Map([...found].map(([, comment, name]) => [name, comment]))
}
