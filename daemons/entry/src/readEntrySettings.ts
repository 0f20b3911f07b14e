/** Reads an entry's settings file; paths in it are taken from its folder. */
import { toNettlespurError } from '@nettlespur/core.errors'
import { readSettingsFile, resolvePath } from '@nettlespur/settings.reader'
import { entrySettingsSchema, type EntrySettings } from '@nettlespur/settings.schemas'

/** Throws `malformed-yaml` and `invalid-settings`, naming every fault. */
export function readEntrySettings(file: string): EntrySettings {
  const settings = readSettingsFile({ file, schema: entrySettingsSchema })
  if (settings.isRight()) return resolvePaths(settings.extract(), file)
  throw toNettlespurError(settings.extract())
}

function resolvePaths(settings: EntrySettings, file: string): EntrySettings {
  const { keyFiles, tls, peerCaFile } = settings
  const resolve = (given: string): string => resolvePath(file, given)
  return {
    ...settings,
    keyFiles: resolveEach(keyFiles, resolve),
    ...(peerCaFile === undefined ? {} : { peerCaFile: resolve(peerCaFile) }),
    ...(tls === undefined ? {} : { tls: resolveEach(tls, resolve) }),
  }
}

/** The same fields, each path that is given made absolute. */
function resolveEach<T extends object>(paths: T, resolve: (given: string) => string): T {
  const resolved = Object.entries(paths)
    .filter((field): field is [string, string] => typeof field[1] === 'string')
    .map(([name, given]) => [name, resolve(given)])
  return Object.fromEntries(resolved) as T
}
