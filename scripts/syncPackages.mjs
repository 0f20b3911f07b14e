/**
 * Derives what must agree between packages: project references from the dependencies declared in each
 * package.json, and the list of all packages in the root tsconfig.json. `--check` writes nothing and fails
 * on any difference, or when two packages ask for different versions of one library.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import path from 'node:path'
import { listPackages } from './listPackages.mjs'

const check = process.argv.includes('--check')
const root = path.resolve(import.meta.dirname, '..')
const faults = []
const packages = listPackages(root).map((dir) => ({
  dir,
  manifest: JSON.parse(readFileSync(path.join(dir, 'package.json'), 'utf8')),
}))
const byName = new Map(packages.map((entry) => [entry.manifest.name, entry]))

checkVersions()
for (const entry of packages) syncTsconfig(entry)
syncRoot()
if (faults.length > 0) {
  for (const fault of faults) console.error(fault)
  process.exit(1)
}

function checkVersions() {
  const seen = new Map()
  for (const { manifest } of packages) {
    const all = { ...manifest.dependencies, ...manifest.devDependencies }
    for (const [name, version] of Object.entries(all)) {
      const first = seen.get(name) ?? version
      if (first !== version)
        faults.push(`${manifest.name}: ${name} is ${version}, elsewhere ${first}`)
      seen.set(name, first)
    }
  }
}

function syncTsconfig({ dir, manifest }) {
  const all = { ...manifest.dependencies, ...manifest.devDependencies }
  const references = Object.keys(all)
    .filter((name) => byName.has(name))
    .sort()
    .map((name) => ({ path: path.relative(dir, byName.get(name).dir) }))
  write(path.join(dir, 'tsconfig.json'), {
    extends: path.relative(dir, path.join(root, 'tsconfig.base.json')),
    compilerOptions: { rootDir: '.', outDir: 'lib', tsBuildInfoFile: 'lib/tsconfig.tsbuildinfo' },
    include: ['src', 'test', '__utils__'],
    references,
  })
}

function syncRoot() {
  const references = packages.map(({ dir }) => ({ path: path.relative(root, dir) }))
  write(path.join(root, 'tsconfig.json'), { files: [], references })
}

function write(file, value) {
  const text = JSON.stringify(value, null, 2) + '\n'
  const before = existsSync(file) ? readFileSync(file, 'utf8') : ''
  if (JSON.stringify(parse(before)) === JSON.stringify(value)) return
  if (check) faults.push(`${path.relative(root, file)} is not in step: run npm run sync`)
  else writeFileSync(file, text)
}

function parse(text) {
  return text === '' ? undefined : JSON.parse(text)
}
