/** Picks among the upstreams that are not ejected and, while on trial, have trial capacity left. */
import type { UpstreamRecords } from './upstreamRecords.js'
import { UpstreamPicker, type PickedUpstream, type SlotCandidate } from './upstreamPicker.js'

export class TrustedPicker extends UpstreamPicker {
  readonly #records: UpstreamRecords
  readonly #picker: UpstreamPicker

  constructor(records: UpstreamRecords, picker: UpstreamPicker) {
    super()
    this.#records = records
    this.#picker = picker
  }

  override pick(candidates: readonly SlotCandidate[]): PickedUpstream | undefined {
    return this.#picker.pick(
      candidates.filter(({ upstream }) => this.#records.canTakeRequest(upstream.upstreamId)),
    )
  }
}
