/** Data centres for people. */
import { countSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'
import { formatTable } from './formatTable.js'

export const dataCentreListSchema = z.object({
  dataCentres: z.array(
    z.object({ dataCentre: identifierSchema, evacuated: z.boolean(), revision: countSchema }),
  ),
})
export type DataCentreList = z.infer<typeof dataCentreListSchema>

const headings = ['DATA CENTRE', 'EVACUATED', 'REVISION']

export function formatDataCentres(dataCentres: DataCentreList['dataCentres']): string {
  const rows = dataCentres.map(({ dataCentre, evacuated, revision }) => [
    dataCentre,
    evacuated ? 'yes' : 'no',
    revision,
  ])
  return formatTable(headings, rows)
}
