import { spawn } from 'node:child_process'
import { once } from 'node:events'
import path from 'node:path'
import test from 'ava'

const library = path.resolve(import.meta.dirname, '..', 'src', 'index.js')
const clock = "import { SystemClock } from '@nettlespur/core.clock'"

test('a signal that comes while the process still starts is a planned stop once it has started', async (t) => {
  const script = `
    import { LifecycleManager, stopOnSignals } from ${JSON.stringify(library)}
    ${clock}
    const lifecycle = new LifecycleManager({ clock: new SystemClock(), drainDeadlineMs: 5000 })
    lifecycle.own('told', () => console.log('cleaned up'))
    let finishStart
    stopOnSignals(new Promise((resolve) => { finishStart = () => resolve(lifecycle) }))
    process.once('SIGTERM', () => setImmediate(finishStart))
    process.stdin.resume()
    console.log('starting')
  `
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
    cwd: path.resolve(import.meta.dirname, '..', '..'),
    stdio: ['pipe', 'pipe', 'inherit'],
  })
  await once(child.stdout, 'data')
  const output = once(child.stdout, 'data')
  child.kill('SIGTERM')
  t.is(String((await output)[0]), 'cleaned up\n')
  const [code] = (await once(child, 'exit')) as [number | null]
  t.is(code, 0)
})
