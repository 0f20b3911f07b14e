/** `nettlespur data-centre list` */
import { createCliCommand } from '../cliCommand.js'
import { Cluster } from '../cluster.js'
import { commonArgs } from '../commonArgs.js'
import { dataCentreListSchema, formatDataCentres } from '../formatDataCentres.js'
import { printAnswer } from '../printAnswer.js'

export const dataCentreListCommand = createCliCommand({
  name: 'list',
  description: 'List the data centres, and which of them are evacuated',
  args: commonArgs,
  examples: ['nettlespur data-centre list'],
  run: async ({ args }) => {
    const cluster = new Cluster(args)
    const call = { method: 'GET', path: '/v1/data-centres' } as const
    const answer = await cluster.callFor(dataCentreListSchema, call)
    printAnswer(cluster, answer, ({ dataCentres }) => formatDataCentres(dataCentres))
  },
})
