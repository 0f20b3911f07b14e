import { readFileSync } from 'node:fs'
import path from 'node:path'
import test from 'ava'
import { contractSchema } from '@nettlespur/api.schemas'
import { detectSettingsKind, parseSettings, settingsSchemas } from '../src/index.js'

const page = path.resolve(import.meta.dirname, '../../../../docs/OPERATIONS.md')

test("the settings and the contract on the operators' page have no faults", (t) => {
  const examples = [...readFileSync(page, 'utf8').matchAll(/```yaml\n(.*?)```/gs)].map(
    (match) => match[1] ?? '',
  )
  const kinds = examples.map((text) => {
    const kind = text.includes('workspace:') ? 'contract' : detectSettingsKind(text)
    const schema = kind === 'contract' ? contractSchema : settingsSchemas[kind ?? 'control']
    const outcome = parseSettings<unknown>(text, { file: 'OPERATIONS.md', schema })
    t.is(outcome.isRight() ? '' : outcome.swap().unsafeCoerce().message, '')
    return kind
  })
  t.deepEqual(kinds, ['control', 'entry', 'upstream', 'contract'])
})
