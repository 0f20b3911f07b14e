/** A port that belongs to one leadership and is closed when it ends. */
import { UpstreamPort } from '@nettlespur/batch.sessions'

export abstract class ClosablePort extends UpstreamPort {
  abstract close(): void
}
