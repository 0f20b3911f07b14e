/** Runs the command line as a process of its own. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import type { ExecutionContext } from 'ava'

const program = path.resolve(import.meta.dirname, '../../bin/nettlespur.js')

export interface CliRun {
  readonly exitCode: number | null
  readonly stdout: string
  readonly stderr: string
}

export function runCli(...args: readonly string[]): Promise<CliRun> {
  const child = spawn(process.execPath, [program, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const out: Buffer[] = []
  const err: Buffer[] = []
  child.stdout.on('data', (chunk: Buffer) => out.push(chunk))
  child.stderr.on('data', (chunk: Buffer) => err.push(chunk))
  return new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('close', (exitCode) => {
      const stdout = Buffer.concat(out).toString()
      resolve({ exitCode, stdout, stderr: Buffer.concat(err).toString() })
    })
  })
}

/** A folder with the files given, removed after the test. */
export function makeFolder(t: ExecutionContext, files: Readonly<Record<string, string>>): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-cli-'))
  t.teardown(() => {
    rmSync(folder, { recursive: true })
  })
  for (const [name, text] of Object.entries(files)) writeFileSync(path.join(folder, name), text)
  return folder
}
