/** Creates an empty package: `node scripts/createPackage.mjs DOMAIN THING "What it is for"`. */
import { mkdirSync, writeFileSync } from 'node:fs'
import path from 'node:path'

const [domain, thing, purpose] = process.argv.slice(2)
if (purpose === undefined) {
  console.error('usage: createPackage.mjs DOMAIN THING "What it is for"')
  process.exit(2)
}
const dir = path.resolve(import.meta.dirname, '..', domain, thing)
mkdirSync(path.join(dir, 'src'), { recursive: true })
mkdirSync(path.join(dir, 'test'), { recursive: true })
const manifest = {
  name: `@nettlespur/${domain}.${thing}`,
  version: '0.1.0',
  description: purpose,
  license: 'MIT',
  type: 'module',
  exports: { '.': { types: './lib/src/index.d.ts', default: './lib/src/index.js' } },
  files: ['lib/src', 'README.md'],
  dependencies: {},
}
writeFileSync(path.join(dir, 'package.json'), JSON.stringify(manifest, null, 2) + '\n')
writeFileSync(path.join(dir, 'README.md'), `# ${manifest.name}\n\n${purpose}.\n`)
writeFileSync(path.join(dir, 'src', 'index.ts'), `/** ${purpose}. */\nexport {}\n`)
