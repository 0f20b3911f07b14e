/** Lists the folders of all packages of this repository, each with a package.json of its own. */
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import path from 'node:path'

export function listPackages(root) {
  const { workspaces } = JSON.parse(readFileSync(path.join(root, 'package.json'), 'utf8'))
  return workspaces.flatMap((pattern) => {
    const domain = path.join(root, path.dirname(pattern))
    return listNames(domain)
      .map((name) => path.join(domain, name))
      .filter((folder) => existsSync(path.join(folder, 'package.json')))
  })
}

/** Returns the names in the folder; none if it does not exist. */
export function listNames(folder) {
  return existsSync(folder) ? readdirSync(folder) : []
}
