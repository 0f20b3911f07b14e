/** Turns what a schema objects to into faults with lines, given values and what is allowed. */
import { formatPath } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { describeAllowed, findSchema, listKnownKeys, type JsonSchema } from './describeAllowed.js'
import { findNearestName } from './findNearestName.js'
import { locatePath } from './locatePath.js'
import type { YamlSource } from './parseYaml.js'
import type { SettingsFault } from './settingsFault.js'

const longestGiven = 80

type Issue = z.core.$ZodIssue

/** In the order of their lines. */
export function listFaults(
  source: YamlSource,
  schema: z.ZodType,
  issues: readonly Issue[],
): SettingsFault[] {
  const allowed = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' })
  return issues
    .flatMap((issue) => toFaults(source, allowed, issue))
    .sort((left, right) => left.line - right.line)
}

function toFaults(source: YamlSource, root: JsonSchema, issue: Issue): SettingsFault[] {
  const schema = findSchema(root, issue.path)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => toUnknownKeyFault(source, schema, issue.path, key))
  }
  const where = { path: toPath(issue.path), line: locatePath(source, issue.path) }
  const value = readValue(source, issue.path)
  const allowed = toAllowed(issue, schema)
  if (value === undefined) return [{ ...where, problem: 'is missing', ...allowed }]
  return [{ ...where, problem: 'not allowed', given: formatGiven(value), ...allowed }]
}

function toUnknownKeyFault(
  source: YamlSource,
  schema: JsonSchema | undefined,
  parent: readonly PropertyKey[],
  key: string,
): SettingsFault {
  const path = [...parent, key]
  const known = listKnownKeys(schema)
  const nearest = findNearestName(key, known)
  const guess = nearest === undefined ? '' : `, did you mean ${nearest}?`
  return {
    path: toPath(path),
    line: locatePath(source, path),
    problem: `unknown key${guess}`,
    given: formatGiven(readValue(source, path)),
    allowed: known.join(', '),
  }
}

/** The words of a check itself say more than the type, unless the schema has a description. */
function toAllowed(issue: Issue, schema: JsonSchema | undefined): { allowed?: string } {
  const isOwnCheck = issue.code === 'custom' || issue.code === 'invalid_format'
  if (isOwnCheck && schema?.description === undefined) return { allowed: issue.message }
  const words = describeAllowed(schema)
  return words === undefined ? {} : { allowed: words }
}

function toPath(path: readonly PropertyKey[]): string {
  return path.length === 0 ? '' : formatPath(path)
}

function readValue(source: YamlSource, path: readonly PropertyKey[]): unknown {
  let { value } = source
  for (const step of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[step]
  }
  return value
}

function formatGiven(value: unknown): string {
  const text = JSON.stringify(value)
  return text.length <= longestGiven ? text : `${text.slice(0, longestGiven)}…`
}
