import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { SystemClock } from '@nettlespur/core.clock'
import { DaemonProcess } from '@nettlespur/daemons.trial'
import { createKey } from '@nettlespur/net.keys'
import { HttpUpstreamClient } from '@nettlespur/upstream.client'

const bin = path.resolve(import.meta.dirname, '..', '..', 'bin', 'nettlespur-upstream.js')
const nobody = '127.0.0.1:1'

test('the daemon tells its real port, takes its key from beside its settings, and stops as asked', async (t) => {
  const key = createKey()
  const settings = { listenAddress: '127.0.0.1:0', entries: [nobody], keyFile: 'upstreams.key' }
  const daemon = start(t, settings, key)
  const { address = '' } = await daemon.waitFor('upstream.listening')
  const client = new HttpUpstreamClient({ clock: new SystemClock(), key })
  const status = await client.getTask(address, 't1').run()
  t.like(status.extract(), { taskId: 't1', state: 'unknown' })
  client.close()
  t.is(await daemon.stop(), 0)
})

test('settings with a fault end the daemon with the exit code of their kind', async (t) => {
  const daemon = start(t, { listenAddress: 'localhost:0', entries: [nobody] }, createKey())
  const ended = daemon.waitFor('upstream.listening')
  await t.throwsAsync(ended, { message: /ended with 2[^]*listenAddress/ })
})

function start(t: ExecutionContext, settings: object, key: string): DaemonProcess {
  const folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-upstream-'))
  const settingsFile = path.join(folder, 'upstream.yaml')
  const whole = { upstreamId: 'u1', dataCentre: 'dc1', rack: 'r1', ...settings }
  writeFileSync(settingsFile, JSON.stringify(whole))
  writeFileSync(path.join(folder, 'upstreams.key'), `${key}\n`)
  const daemon = new DaemonProcess({ bin, settingsFile })
  t.teardown(async () => {
    await daemon.kill()
    rmSync(folder, { recursive: true })
  })
  return daemon
}
