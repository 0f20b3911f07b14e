import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import test from 'ava'
import { entrySettingsSchema, type EntrySettings } from '@nettlespur/settings.schemas'
import { readDaemonSettings, resolveInstancePaths } from '../src/index.js'

const opts = { schema: entrySettingsSchema, resolvePaths: resolveInstancePaths<EntrySettings> }

test('a fault in the settings is named with its path, and malformed YAML as such', async (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'nettlespur-settings-'))
  t.teardown(() => {
    rmSync(folder, { recursive: true })
  })
  const file = path.join(folder, 'entry.yaml')
  writeFileSync(file, 'instanceId: 7\n')
  await t.throwsAsync(readDaemonSettings(file, opts), { message: /entry\.yaml:1: instanceId: / })
  writeFileSync(file, 'instanceId: [\n')
  await t.throwsAsync(readDaemonSettings(file, opts), { code: 'NETTLESPUR_MALFORMED_YAML' })
})

test('paths are taken from the folder of the settings file', (t) => {
  const settings = {
    keyFiles: { peers: 'peers.key' },
    tls: { certFile: 'a.pem', keyFile: '/b.pem' },
  }
  const resolved = resolveInstancePaths(settings, '/etc/nettlespur/entry.yaml')
  t.is(resolved.keyFiles.peers, '/etc/nettlespur/peers.key')
  t.deepEqual(resolved.tls, { certFile: '/etc/nettlespur/a.pem', keyFile: '/b.pem' })
})
