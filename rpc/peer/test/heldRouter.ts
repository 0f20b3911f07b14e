/** A router for tests of connections: one call is answered at once, another once it is released. */
import type { RpcResult } from '@nettlespur/core.errors'
import { initTRPC } from '@trpc/server'
import { Subject, firstValueFrom } from 'rxjs'

/** `wait` answers with what `release` is given, and `waiting` tells that it was taken; `ask` answers at once. */
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
