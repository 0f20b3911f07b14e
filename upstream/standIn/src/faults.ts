/** Faults the stand-in shows on command. A command replaces all of them; an empty one ends them. */
import { durationMsSchema } from '@nettlespur/api.schemas'
import { BehaviorSubject } from 'rxjs'
import { z } from 'zod'

export const callKinds = [
  'reserve',
  'start',
  'checkpoint',
  'throttle',
  'stop',
  'renew',
  'status',
  'answer',
  'run',
] as const
export type CallKind = (typeof callKinds)[number]

const callKindsSchema = z.array(z.enum(callKinds)).default([])

export const faultSettingsSchema = z.strictObject({
  failStarts: z.boolean().default(false),
  refuseReserves: z.boolean().default(false),
  /** Running tasks go on after a stop, until their lease ends. */
  ignoreStops: z.boolean().default(false),
  /** Calls of these kinds are accepted, have no effect and are never answered. */
  stall: callKindsSchema,
  /** Calls of these kinds take effect and are never answered. */
  loseAnswers: callKindsSchema,
  /** Every answer leaves this much later. */
  answerDelayMs: durationMsSchema.default(0),
  /** The bytes of a task's answer stop halfway. */
  truncateAnswers: z.boolean().default(false),
  silentAnnouncements: z.boolean().default(false),
})
export type FaultSettings = z.infer<typeof faultSettingsSchema>
export type FaultCommand = z.input<typeof faultSettingsSchema>

export class Faults {
  /** Calls that are held without an answer, now. */
  readonly heldCalls = new BehaviorSubject(0)
  #settings: FaultSettings = faultSettingsSchema.parse({})

  get settings(): FaultSettings {
    return this.#settings
  }

  set(command: FaultCommand): void {
    this.#settings = faultSettingsSchema.parse(command)
  }
}
