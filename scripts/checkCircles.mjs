/**
 * Fails if source files of one package import each other in a circle, directly or through others. Types count: a reader
 * who follows the imports of such a file never reaches one that stands alone.
 */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { listNames, listPackages } from './listPackages.mjs'

const root = path.resolve(import.meta.dirname, '..')
const circles = listPackages(root).flatMap((folder) => findCircles(path.join(folder, 'src')))
for (const circle of circles) console.error(`imports in a circle: ${circle}`)
process.exit(circles.length === 0 ? 0 : 1)

/** Returns one line for each file from which its own imports lead back to it. */
function findCircles(folder) {
  const files = listNames(folder).filter((file) => file.endsWith('.ts'))
  const imports = new Map(files.map((file) => [file, listImports(path.join(folder, file))]))
  return files
    .filter((file) => listReachable(imports, file).has(file))
    .map((file) => path.relative(root, path.join(folder, file)))
}

function listImports(file) {
  const text = readFileSync(file, 'utf8')
  return [...text.matchAll(/ from '\.\/(\w+)\.js'/g)].map(([, name]) => `${name}.ts`)
}

function listReachable(imports, start) {
  const reached = new Set()
  const open = [start]
  while (open.length > 0) {
    for (const next of imports.get(open.pop()) ?? []) {
      if (reached.has(next)) continue
      reached.add(next)
      open.push(next)
    }
  }
  return reached
}
