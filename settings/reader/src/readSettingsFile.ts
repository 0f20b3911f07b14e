/** Reads a YAML file and checks it against a schema; every fault is named, not just the first. */
import { readFileSync } from 'node:fs'
import { NettlespurError } from '@nettlespur/core.errors'
import { Left, Right, type Either } from 'purify-ts'
import type { z } from 'zod'
import { listFaults } from './listFaults.js'
import { parseYaml, type YamlSource } from './parseYaml.js'
import { SettingsError } from './settingsError.js'

export interface ReadSettingsOptions<T> {
  file: string
  schema: z.ZodType<T>
}

/** Errors: `malformed-yaml`, and `invalid-settings` also for a file that cannot be read. */
export function readSettingsFile<T>(opts: ReadSettingsOptions<T>): Either<NettlespurError, T> {
  return readText(opts.file).chain((text) => parseSettings(text, opts))
}

/** Checks text already read; `file` only names it in faults. */
export function parseSettings<T>(
  text: string,
  opts: ReadSettingsOptions<T>,
): Either<NettlespurError, T> {
  return parseYaml(text)
    .mapLeft((faults) => new SettingsError('malformed-yaml', opts.file, faults))
    .chain((source) => checkSource(source, opts))
}

/** Errors: `invalid-settings`. */
export function readText(file: string): Either<NettlespurError, string> {
  try {
    return Right(readFileSync(file, 'utf8'))
  } catch (cause) {
    return Left(new NettlespurError('invalid-settings', `cannot read ${file}`, { cause }))
  }
}

function checkSource<T>(
  source: YamlSource,
  opts: ReadSettingsOptions<T>,
): Either<NettlespurError, T> {
  const parsed = opts.schema.safeParse(source.value)
  if (parsed.success) return Right(parsed.data)
  const faults = listFaults(source, opts.schema, parsed.error.issues)
  return Left(new SettingsError('invalid-settings', opts.file, faults))
}
