/** A port without upstreams, for a control group by itself. */
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
