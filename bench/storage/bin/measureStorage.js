/** Prints the figures of one run: `node bench/storage/bin/measureStorage.js [PARENT_FOLDER]`. */
import { SystemClock } from '@nettlespur/core.clock'
import { measureStorage } from '@nettlespur/bench.storage'

const [parentFolder] = process.argv.slice(2)
const folder = parentFolder === undefined ? {} : { parentFolder }
const rows = await measureStorage({ clock: new SystemClock(), ...folder })
for (const { name, value, unit } of rows) console.log(`${name} ${value.toFixed(3)} ${unit}`)
