/** Tells which process a settings file is for, from the keys it has. */
import {
  batchControlSettingsSchema,
  batchEntrySettingsSchema,
  controlSettingsSchema,
  entrySettingsSchema,
  upstreamSettingsSchema,
} from '@nettlespur/settings.schemas'
import { isMap, isScalar, parseDocument } from 'yaml'

export const settingsKinds = [
  'control',
  'entry',
  'upstream',
  'batch-control',
  'batch-entry',
] as const
export type SettingsKind = (typeof settingsKinds)[number]

export const settingsSchemas = {
  control: controlSettingsSchema,
  entry: entrySettingsSchema,
  upstream: upstreamSettingsSchema,
  'batch-control': batchControlSettingsSchema,
  'batch-entry': batchEntrySettingsSchema,
} as const satisfies Record<SettingsKind, unknown>

/** The kind that knows most of the keys; undefined where two know as many. */
export function detectSettingsKind(text: string): SettingsKind | undefined {
  const keys = listTopKeys(text)
  const ranked = settingsKinds
    .map((kind) => ({ kind, known: countKnown(kind, keys) }))
    .sort((left, right) => right.known - left.known)
  const [first, second] = ranked
  return first !== undefined && first.known > (second?.known ?? 0) ? first.kind : undefined
}

function countKnown(kind: SettingsKind, keys: readonly string[]): number {
  const { shape } = settingsSchemas[kind]
  return keys.filter((key) => Object.hasOwn(shape, key)).length
}

function listTopKeys(text: string): string[] {
  const { contents } = parseDocument(text, { prettyErrors: false })
  if (!isMap(contents)) return []
  return contents.items.map((pair) => (isScalar(pair.key) ? String(pair.key.value) : ''))
}
