/** Prints the request figures, one a line: `name value unit`. */
import { measureRequests } from '../lib/src/index.js'

for (const { name, value, unit } of await measureRequests()) {
  console.log(`${name} ${Number(value.toFixed(3))} ${unit}`)
}
