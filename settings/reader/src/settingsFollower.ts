/** Takes up changes of a settings file while its process runs: on a signal, or as the file itself shows. */
import { Wake, type Clock } from '@nettlespur/core.clock'
import type { Logger } from '@nettlespur/core.logger'
import { parseSettings, readText, type ReadSettingsOptions } from './readSettingsFile.js'

/** A look reads a file of a kilobyte; a second is as soon as the platform's instances notice other changes. */
const lookEveryMs = 1000

export interface SettingsFollowerOptions<T> extends ReadSettingsOptions<T> {
  clock: Clock
  logger: Logger
  /** What the settings in use were read from. */
  text: string
  onChange: (settings: T) => void
}

export class SettingsFollower<T> {
  readonly #opts: SettingsFollowerOptions<T>
  readonly #wake = new Wake()
  #text: string

  constructor(opts: SettingsFollowerOptions<T>) {
    this.#opts = opts
    this.#text = opts.text
  }

  /** Has the file looked at now. */
  lookNow(): void {
    this.#wake.notify()
  }

  /** Until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const isOver = (): boolean => signal.aborted
    while (!isOver()) {
      await this.#wake.wait(this.#opts.clock, lookEveryMs, signal)
      if (!isOver()) this.#look()
    }
  }

  /** A file that cannot be read may be about to be replaced: it is looked at again. */
  #look(): void {
    const { file, logger, onChange } = this.#opts
    const text = readText(file).orDefault(this.#text)
    if (text === this.#text) return
    this.#text = text
    parseSettings(text, this.#opts)
      .ifRight(onChange)
      .ifLeft(({ kind, message: reason }) => {
        logger.error({ event: 'settings.refused', file, kind, reason })
      })
  }
}
