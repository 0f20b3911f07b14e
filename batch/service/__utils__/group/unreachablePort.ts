/** Upstreams that never answer: a group of control alone. */
import { UpstreamPort } from '@nettlespur/batch.sessions'
import { NettlespurError } from '@nettlespur/core.errors'

export class UnreachablePort extends UpstreamPort {
  override start = refuse
  override stop = refuse
  override hold = refuse
}

function refuse(): Promise<never> {
  return Promise.reject(new NettlespurError('unreachable', 'no upstream takes part'))
}
