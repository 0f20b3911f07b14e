/** Test router with one procedure that answers at once and one that answers when the test releases it. */
import type { RpcResult } from '@nettlespur/core.errors'
import { initTRPC } from '@trpc/server'
import { Subject, firstValueFrom } from 'rxjs'

/** `ask` answers at once. `wait` emits on `waiting` when it is called and answers with the next value of `release`. */
export function createHeldRouter() {
  const release = new Subject<string>()
  const waiting = new Subject<void>()
  const { router, procedure } = initTRPC.create()
  const held = router({
    ask: procedure.mutation((): RpcResult<string> => ({ ok: true, value: 'asked' })),
    wait: procedure.mutation(async (): Promise<RpcResult<string>> => {
      const released = firstValueFrom(release)
      waiting.next()
      return { ok: true, value: await released }
    }),
  })
  return { release, waiting, router: held }
}

export type HeldRouter = ReturnType<typeof createHeldRouter>['router']
