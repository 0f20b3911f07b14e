/** Declares dependencies of one package: `node scripts/addDependency.mjs DOMAIN.THING NAME [NAME ...]`.
 * A library's version is the one other packages already use, else NAME@VERSION gives it. */
import { readFileSync, readdirSync, existsSync, writeFileSync } from 'node:fs'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const [target, ...names] = process.argv.slice(2)
if (target === undefined || names.length === 0) {
  console.error('usage: addDependency.mjs DOMAIN.THING NAME[@VERSION] [NAME ...]')
  process.exit(2)
}
const file = path.join(root, ...target.split('.'), 'package.json')
const manifest = JSON.parse(readFileSync(file, 'utf8'))
const dependencies = { ...manifest.dependencies }
for (const spec of names) {
  const [, name, version] = /^(@?[^@]+)(?:@(.+))?$/.exec(spec)
  dependencies[name] = version ?? findVersion(name)
}
manifest.dependencies = Object.fromEntries(Object.entries(dependencies).sort())
writeFileSync(file, JSON.stringify(manifest, null, 2) + '\n')

function findVersion(name) {
  for (const { manifest } of listManifests()) {
    if (manifest.name === name) return manifest.version
    const version = manifest.dependencies?.[name] ?? manifest.devDependencies?.[name]
    if (version !== undefined) return version
  }
  console.error(`${name} is used nowhere yet: give NAME@VERSION`)
  process.exit(2)
}

function listManifests() {
  const { workspaces } = JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8'))
  const folders = workspaces.map((pattern) => path.join(root, path.dirname(pattern)))
  const files = folders
    .filter((folder) => existsSync(folder))
    .flatMap((folder) => readdirSync(folder).map((name) => path.join(folder, name, 'package.json')))
  return files
    .filter((name) => existsSync(name))
    .map((name) => ({ manifest: JSON.parse(readFileSync(name, 'utf8')) }))
}
