/** What a line of the log says. */

/** What one field of a log event may hold. */
export type LogValue = string | number | boolean | null | undefined | readonly (string | number)[]

/** A log event: its dotted name and its fields. */
export interface LogEvent {
  readonly event: string
  readonly [field: string]: LogValue
}
