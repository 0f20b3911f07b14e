/** Removes compiled tests whose source is gone, so that a checkout used before runs no old test. */
import { existsSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import path from 'node:path'

const root = path.resolve(import.meta.dirname, '..')
const { workspaces } = JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8'))
for (const pattern of workspaces) {
  const domain = path.join(root, path.dirname(pattern))
  for (const name of list(domain)) removeStale(path.join(domain, name))
}

function removeStale(folder) {
  const compiled = path.join(folder, 'lib', 'test')
  for (const file of list(compiled).filter((name) => name.endsWith('.test.js'))) {
    const source = path.join(folder, 'test', file.replace(/\.js$/, '.ts'))
    if (!existsSync(source)) rmSync(path.join(compiled, file))
  }
}

function list(folder) {
  return existsSync(folder) ? readdirSync(folder) : []
}
