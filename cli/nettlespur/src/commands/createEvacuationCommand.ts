/** The two commands that change whether a data centre is evacuated. */
import { identifierSchema } from '@nettlespur/api.schemas'
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { printText } from '../output.js'
import { readAs } from '../readArgs.js'

export interface EvacuationCommandOptions {
  name: string
  description: string
  method: 'PUT' | 'DELETE'
  /** What is printed behind the name of the data centre. */
  done: string
}

export function createEvacuationCommand({
  name,
  description,
  method,
  done,
}: EvacuationCommandOptions) {
  return createCliCommand({
    name,
    description,
    args: {
      'data-centre': { type: 'positional', description: 'Name of the data centre', required: true },
      ...commonArgs,
    },
    examples: [`nettlespur data-centre ${name} dc-2`],
    run: async ({ args }) => {
      const dataCentre = readAs('DATA_CENTRE', identifierSchema, args['data-centre'])
      const cluster = new Cluster(args)
      const path = `/v1/data-centres/${dataCentre}/evacuation`
      const answer = await cluster.call({ method, path })
      printText(cluster.json ? answer.body.toString('utf8') : `${dataCentre} ${done}`)
    },
  })
}
