/** `nettlespur settings check FILE` */
import { NettlespurError, unwrapEither } from '@nettlespur/core.errors'
import {
  detectSettingsKind,
  parseSettings,
  readText,
  settingsKinds,
  settingsSchemas,
  type SettingsKind,
} from '@nettlespur/settings.reader'
import { Left, Right } from 'purify-ts'
import { z } from 'zod'
import { createCliCommand } from '../cliCommand.js'
import { jsonArg } from '../commonArgs.js'
import { printText } from '../output.js'

const anyMapping = z.record(z.string(), z.unknown())

export const settingsCheckCommand = createCliCommand({
  name: 'check',
  description: 'Name each fault of a settings file by path, line and what is allowed',
  args: {
    file: { type: 'positional', description: 'Settings file in YAML', required: true },
    kind: {
      type: 'enum',
      description: 'Process the file is for; told from its keys where absent',
      options: [...settingsKinds],
    },
    json: jsonArg,
  },
  examples: [
    'nettlespur settings check control.yaml',
    'nettlespur settings check site-a.yaml --kind entry',
  ],
  run: ({ args }) => {
    const kind = unwrapEither(checkFile(args.file, args.kind))
    const found = { file: args.file, kind, faults: [] }
    printText(args.json ? JSON.stringify(found) : `${args.file}: no faults (${kind} settings)`)
  },
})

/** The kind of a file without faults. Errors: `malformed-yaml`, `invalid-settings`. */
function checkFile(file: string, given: SettingsKind | undefined) {
  return readText(file).chain((text) => {
    const kind = given ?? detectSettingsKind(text)
    // A file of no kind is still parsed, so that malformed YAML is told as such.
    const schema: z.ZodType = kind === undefined ? anyMapping : settingsSchemas[kind]
    return parseSettings(text, { file, schema }).chain(() =>
      kind === undefined ? Left(createUnknownKindError(file)) : Right(kind),
    )
  })
}

function createUnknownKindError(file: string): NettlespurError {
  return new NettlespurError('invalid-settings', `${file}: its keys fit no one kind of process`, {
    hint: `say which with --kind: ${settingsKinds.join(', ')}`,
  })
}
