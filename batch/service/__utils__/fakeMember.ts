/** A member of control on loopback that answers as a test says. */
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { createRpcServer } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import { BatchApi, createBatchRouter, type LeaderView, type SubmitCall } from '../src/index.js'

export const peerKey = 'key'

export interface FakeMember {
  readonly address: string
  /** Jobs that reached it. */
  readonly submitted: string[]
  view: LeaderView
  /** What a submission ends in: by default it is taken. */
  answer: () => Promise<void>
  stop(): Promise<void>
}

export async function startFakeMember(): Promise<FakeMember> {
  const member = {
    submitted: [] as string[],
    view: { term: 0, memberAddresses: [] } as LeaderView,
    answer: () => Promise.resolve(),
  }
  const api = new FakeApi(member)
  const router = createBatchRouter(api, { locateLeader: () => member.view })
  const server = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [peerKey] })
  return Object.assign(member, {
    address: server.address,
    stop: () => server.drain(),
  })
}

/** The calls of this process itself, without a connection. */
export function createLocalApi(submit: () => Promise<null>): BatchApi {
  return new FakeApi({
    submitted: [],
    answer: async () => {
      await submit()
    },
  })
}

class FakeApi extends BatchApi {
  readonly #member: Pick<FakeMember, 'submitted' | 'answer'>

  constructor(member: Pick<FakeMember, 'submitted' | 'answer'>) {
    super()
    this.#member = member
  }

  override submitJob({ request }: SubmitCall): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      this.#member.submitted.push(request.jobId)
      await this.#member.answer()
      return null
    })
  }

  override cancelJob = refuse<null>
  override getJobState = refuse<never>
  override countPending = refuse<number>
  override applyConfig = refuse<null>
  override readConfig = refuse<string>
  override announce = refuse<null>
  override leave = refuse<null>
  override join = refuse<null>
}

function refuse<T>(): EitherAsync<NettlespurError, T> {
  return tryAsync(() => Promise.reject(new NettlespurError('internal', 'not part of this test')))
}
