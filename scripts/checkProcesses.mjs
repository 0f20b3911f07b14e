/**
 * Run by hand, apart from CI: starts the daemons, shows the resident memory of each at rest, then starts them
 * under strace and fails where one starts a process or calls io_uring. Needs a build, and strace.
 */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { TrialCluster } from '../daemons/trial/lib/__utils__/index.js'

const restMs = 10_000
const size = { controls: 1, entries: 2, upstreams: 2 }
const forbidden = /\b(execve|execveat|fork|vfork|io_uring_setup|io_uring_enter)\(/

await showMemory()
process.exitCode = (await traceCalls()) ? 0 : 1

async function showMemory() {
  const cluster = await TrialCluster.start(size)
  await sleep(restMs)
  for (const { id, process: daemon } of listAll(cluster)) {
    const status = readFileSync(`/proc/${daemon.pid}/status`, 'utf8')
    console.log(`resident_memory_at_rest{instance="${id}"} ${/VmRSS:\s+(\d+)/.exec(status)[1]} KiB`)
  }
  await cluster.close()
}

async function traceCalls() {
  const traces = new Map()
  const under = (id, kind) => {
    if (kind === 'upstream') return undefined
    const file = path.join('/tmp', `nettlespur-trace-${process.pid}-${id}`)
    traces.set(id, file)
    // -D keeps the daemon our own child, so that its signals reach it.
    return [
      'strace',
      '-D',
      '-f',
      '-qq',
      '-e',
      'trace=process,io_uring_setup,io_uring_enter',
      '-o',
      file,
    ]
  }
  const cluster = await TrialCluster.start({ ...size, under })
  await sleep(restMs)
  for (const { process: daemon } of [...cluster.entries, ...cluster.controls]) await daemon.stop()
  await cluster.close()
  return [...traces].map(([id, file]) => checkTrace(id, file)).every(Boolean)
}

/** The first execve is the daemon itself. */
function checkTrace(id, file) {
  const calls = readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => forbidden.test(line))
  const others = calls.slice(1)
  console.log(`${id}: ${others.length} calls that start a process or use io_uring`)
  for (const call of others) console.log(`  ${call}`)
  return others.length === 0
}

function listAll(cluster) {
  return [...cluster.controls, ...cluster.entries, ...cluster.upstreams]
}
