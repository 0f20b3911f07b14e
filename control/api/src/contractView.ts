/** A contract as shown to operators: the record, and the entries where it is and is not yet in force. */
import { contractRecordSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const contractViewSchema = contractRecordSchema.extend({
  inForceAt: z.array(identifierSchema),
  notYetInForceAt: z.array(identifierSchema),
})
export type ContractView = z.infer<typeof contractViewSchema>
