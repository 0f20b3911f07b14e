/** A model of the log store: the state expected after a sequence of commands, to compare a reopened store with. */
import fc from 'fast-check'
import type { HardState, LogEntry, LogStore, Snapshot } from '../src/index.js'
import { readAll, toEntry } from './storeHelpers.js'

export interface StoreState {
  readonly hardState: HardState
  readonly snapshotIndex: number
  readonly snapshotTerm: number
  /** The lowest `firstIndex` that the store may have. */
  readonly minFirstIndex: number
  /** The highest `firstIndex` that the store may have; `minFirstIndex` if that is higher. */
  readonly maxFirstIndex: number
  /** All entries from `minFirstIndex` on. */
  readonly entries: readonly LogEntry[]
}

export type Command =
  | { readonly kind: 'append'; readonly count: number; readonly text: string }
  | { readonly kind: 'truncate'; readonly back: number }
  | { readonly kind: 'hardState'; readonly votedFor: string | undefined }
  | { readonly kind: 'snapshot'; readonly back: number; readonly keep: number }
  | { readonly kind: 'install'; readonly ahead: number }

/** A command, and whether it must complete before the next one starts. */
export interface Step {
  readonly command: Command
  readonly awaited: boolean
}

export const emptyState: StoreState = {
  hardState: { term: 0, votedFor: undefined },
  snapshotIndex: 0,
  snapshotTerm: 0,
  minFirstIndex: 1,
  maxFirstIndex: 1,
  entries: [],
}

const commandArbitrary: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('append' as const),
      count: fc.integer({ min: 1, max: 4 }),
      text: fc.string({ maxLength: 40 }),
    }),
  },
  fc.record({ kind: fc.constant('truncate' as const), back: fc.nat(5) }),
  fc.record({
    kind: fc.constant('hardState' as const),
    votedFor: fc.constantFrom(undefined, 'a', 'b'),
  }),
  fc.record({ kind: fc.constant('snapshot' as const), back: fc.nat(4), keep: fc.nat(3) }),
  fc.record({ kind: fc.constant('install' as const), ahead: fc.integer({ min: -3, max: 3 }) }),
)

export const stepsArbitrary = fc.array(
  fc.record({ command: commandArbitrary, awaited: fc.boolean() }),
  { maxLength: 15 },
)

/**
 * Returns the state after the command, and a function that runs the command on a store. Returns undefined if the
 * command is a snapshot at an index without an entry or not after the current snapshot.
 */
export function planCommand(
  state: StoreState,
  command: Command,
): { next: StoreState; run: (store: LogStore) => Promise<void> } | undefined {
  const lastIndex = state.minFirstIndex + state.entries.length - 1
  const term = state.hardState.term + 1
  switch (command.kind) {
    case 'append': {
      const added = Array.from({ length: command.count }, (_, position) =>
        toEntry(lastIndex + 1 + position, term, command.text),
      )
      const next = { ...state, entries: [...state.entries, ...added] }
      return { next, run: (store) => store.append(added) }
    }
    case 'truncate': {
      const index = Math.max(state.snapshotIndex + 1, lastIndex - command.back)
      const entries = state.entries.filter((entry) => entry.index < index)
      return { next: { ...state, entries }, run: (store) => store.truncateFrom(index) }
    }
    case 'hardState': {
      const hardState = { term, votedFor: command.votedFor }
      return { next: { ...state, hardState }, run: (store) => store.saveHardState(hardState) }
    }
    case 'snapshot': {
      const index = lastIndex - command.back
      const entry = state.entries.find((one) => one.index === index)
      if (entry === undefined || index <= state.snapshotIndex) return undefined
      const maxFirstIndex = Math.max(state.maxFirstIndex, index - command.keep + 1)
      const next = { ...state, maxFirstIndex, snapshotIndex: index, snapshotTerm: entry.term }
      const snapshot = toSnapshot(index, entry.term)
      return { next, run: (store) => store.saveSnapshot(snapshot, command.keep) }
    }
    case 'install': {
      const index = Math.max(1, lastIndex + command.ahead)
      const minFirstIndex = index + 1
      const installed = { snapshotIndex: index, snapshotTerm: term, entries: [] }
      const next = { ...state, ...installed, minFirstIndex, maxFirstIndex: minFirstIndex }
      return { next, run: (store) => store.installSnapshot(toSnapshot(index, term)) }
    }
  }
}

export function toSnapshot(index: number, term: number): Snapshot {
  return {
    meta: { index, term, membership: { voters: [index] } },
    data: Buffer.from(`to ${index}`),
  }
}

/** Whether the store matches the state, with a `firstIndex` within its bounds. */
export async function holdsState(store: LogStore, state: StoreState): Promise<boolean> {
  const { snapshotMeta, hardState } = store
  const snapshot = await store.readSnapshot()
  const expected = state.snapshotIndex === 0 ? '' : `to ${state.snapshotIndex}`
  const entries = await readAll(store)
  const wanted = state.entries.filter((entry) => entry.index >= store.firstIndex)
  return (
    hardState.term === state.hardState.term &&
    hardState.votedFor === state.hardState.votedFor &&
    snapshotMeta.index === state.snapshotIndex &&
    snapshotMeta.term === state.snapshotTerm &&
    (snapshot?.data.toString() ?? '') === expected &&
    store.firstIndex >= state.minFirstIndex &&
    store.firstIndex <= Math.max(state.maxFirstIndex, state.minFirstIndex) &&
    store.lastIndex === state.minFirstIndex + state.entries.length - 1 &&
    entries.length === wanted.length &&
    entries.every((entry, position) => isSame(entry, wanted[position]))
  )
}

function isSame(left: LogEntry, right: LogEntry | undefined): boolean {
  return (
    left.index === right?.index && left.term === right.term && left.payload.equals(right.payload)
  )
}
