/** A fake control member on loopback, whose answers the test sets. */
import type { JobState } from '@nettlespur/batch.model'
import type { Evacuation } from '@nettlespur/core.evacuations'
import { NettlespurError, tryAsync } from '@nettlespur/core.errors'
import { createRpcServer } from '@nettlespur/rpc.peer'
import type { EitherAsync } from 'purify-ts'
import {
  BatchApi,
  createBatchRouter,
  type JobCall,
  type LeaderView,
  type SubmitCall,
} from '../src/index.js'

export const peerKey = 'key'

type FakeCalls = Pick<FakeMember, 'submitted' | 'answer' | 'asked' | 'answerState'>

export interface FakeMember {
  readonly address: string
  /** Ids of the jobs submitted to this member. */
  readonly submitted: string[]
  view: LeaderView
  /** How often this member was asked who leads. */
  locateCalls: number
  /** Answers a submission or an announcement; accepts it by default. */
  answer: () => Promise<void>
  /** Ids of the jobs whose state this member was asked for. */
  readonly asked: string[]
  /** Answers a query for a job's state; `completed` by default. */
  answerState: () => Promise<JobState>
  stop(): Promise<void>
}

export async function startFakeMember(): Promise<FakeMember> {
  const member = {
    submitted: [] as string[],
    locateCalls: 0,
    view: { term: 0, memberAddresses: [] } as LeaderView,
    answer: () => Promise.resolve(),
    ...createStateQueries(),
  }
  const api = new FakeApi(member)
  const router = createBatchRouter(api, {
    locateLeader: () => {
      member.locateCalls += 1
      return member.view
    },
  })
  const server = await createRpcServer({ address: '127.0.0.1:0', router, peerKeys: [peerKey] })
  return Object.assign(member, {
    address: server.address,
    stop: () => server.drain(),
  })
}

/** An api for a client in the same process as the member, without a connection. */
export function createLocalApi(submit: () => Promise<null>): BatchApi {
  return new FakeApi({
    submitted: [],
    ...createStateQueries(),
    answer: async () => {
      await submit()
    },
  })
}

function createStateQueries(): Pick<FakeMember, 'asked' | 'answerState'> {
  return { asked: [], answerState: () => Promise.resolve('completed') }
}

class FakeApi extends BatchApi {
  readonly #member: FakeCalls

  constructor(member: FakeCalls) {
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

  override getJobState({ jobId }: JobCall): EitherAsync<NettlespurError, JobState> {
    return tryAsync(() => {
      this.#member.asked.push(jobId)
      return this.#member.answerState()
    })
  }

  override announce(): EitherAsync<NettlespurError, null> {
    return tryAsync(async () => {
      await this.#member.answer()
      return null
    })
  }

  override cancelJob = refuse<null>
  override countPending = refuse<number>
  override applyConfig = refuse<null>
  override readConfig = refuse<string>
  override listEvacuations = refuse<Evacuation[]>
  override changeEvacuation = refuse<null>
  override leave = refuse<null>
  override join = refuse<null>
}

function refuse<T>(): EitherAsync<NettlespurError, T> {
  return tryAsync(() => Promise.reject(new NettlespurError('internal', 'not part of this test')))
}
