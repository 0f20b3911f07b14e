/** Removes compiled tests whose source is gone, so that a checkout used before runs no old test. */
import { existsSync, rmSync } from 'node:fs'
import path from 'node:path'
import { listNames, listPackages } from './listPackages.mjs'

const root = path.resolve(import.meta.dirname, '..')
for (const folder of listPackages(root)) removeStale(folder)

function removeStale(folder) {
  const compiled = path.join(folder, 'lib', 'test')
  for (const file of listNames(compiled).filter((name) => name.endsWith('.test.js'))) {
    const source = path.join(folder, 'test', file.replace(/\.js$/, '.ts'))
    if (!existsSync(source)) rmSync(path.join(compiled, file))
  }
}
