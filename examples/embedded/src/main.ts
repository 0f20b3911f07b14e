/** `npm run example`: runs the example in a temporary folder and prints the gang's answer. */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { runEmbedded } from './runEmbedded.js'

const dataFolder = mkdtempSync(path.join(tmpdir(), 'nettlespur-example-'))
try {
  const answer = await runEmbedded({
    dataFolder,
    writeLog: (line) => void process.stderr.write(line),
  })
  process.stdout.write(`${JSON.stringify(answer, null, 2)}\n`)
} finally {
  rmSync(dataFolder, { recursive: true, force: true })
}
