/** Reads a settings file; its paths are taken from its own folder. */
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { parseValue } from '@nettlespur/api.schemas'
import { NettlespurError } from '@nettlespur/core.errors'
import { upstreamSettingsSchema, type UpstreamSettings } from '@nettlespur/settings.schemas'
import { Left, Right, type Either } from 'purify-ts'
import { parse } from 'yaml'

/** Errors: `invalid-settings`, `malformed-yaml`, and those of `parseValue`. */
export function readUpstreamSettings(file: string): Either<NettlespurError, UpstreamSettings> {
  return readYaml(file)
    .chain((value) => parseValue(upstreamSettingsSchema, value))
    .map((settings) => resolveKeyFile(settings, path.dirname(file)))
}

function readYaml(file: string): Either<NettlespurError, unknown> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (cause) {
    return Left(new NettlespurError('invalid-settings', `${file}: cannot be read`, { cause }))
  }
  try {
    return Right(parse(text) as unknown)
  } catch (cause) {
    return Left(new NettlespurError('malformed-yaml', `${file}: ${String(cause)}`))
  }
}

function resolveKeyFile(settings: UpstreamSettings, folder: string): UpstreamSettings {
  const { keyFile } = settings
  return keyFile === undefined ? settings : { ...settings, keyFile: path.resolve(folder, keyFile) }
}
