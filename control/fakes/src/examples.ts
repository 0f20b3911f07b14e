/** Sample contracts and upstreams for tests of control, identified by workspace or upstream id. */
import {
  createContract as createSample,
  createUpstreamView as createView,
} from '@nettlespur/api.samples'
import type { Contract, UpstreamView } from '@nettlespur/api.schemas'

export { createJobRequest } from '@nettlespur/api.samples'

export function createContract(
  workspace: string,
  limits: Partial<Contract['limits']> = {},
): Contract {
  return createSample({ workspace }, limits)
}

export function createUpstreamView(
  upstreamId: string,
  fields: Partial<UpstreamView> = {},
): UpstreamView {
  return createView({ upstreamId, ...fields })
}
