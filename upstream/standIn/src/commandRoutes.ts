/** What drives and inspects the stand-in itself; no real upstream has these calls. */
import type { HttpReply, Route } from '@nettlespur/net.server'
import { EitherAsync, Right } from 'purify-ts'
import { faultSettingsSchema, type Faults } from './faults.js'
import type { TaskTable } from './taskTable.js'

const statusOk = 200

export interface CommandRoutesOptions {
  tasks: TaskTable
  faults: Faults
  leave: () => void
}

export function createCommandRoutes(opts: CommandRoutesOptions): Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/standin/faults',
      handle: (request) =>
        request.readJson(faultSettingsSchema).map((command) => {
          opts.faults.set(command)
          return toReply(opts.faults.settings)
        }),
    },
    {
      method: 'POST',
      path: '/v1/standin/leave',
      handle: () => {
        opts.leave()
        return EitherAsync.liftEither(Right(toReply({ state: 'leaving' })))
      },
    },
    {
      method: 'GET',
      path: '/v1/standin/runs',
      handle: () => EitherAsync.liftEither(Right(toReply(opts.tasks.listRuns()))),
    },
  ]
}

function toReply(json: unknown): HttpReply {
  return { status: statusOk, json }
}
