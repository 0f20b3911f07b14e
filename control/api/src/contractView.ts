/** A contract as operators see it: the record, and the entries where it is in force. */
import { contractRecordSchema, identifierSchema } from '@nettlespur/api.schemas'
import { z } from 'zod'

export const contractViewSchema = contractRecordSchema.extend({
  inForceAt: z.array(identifierSchema),
  notYetInForceAt: z.array(identifierSchema),
})
export type ContractView = z.infer<typeof contractViewSchema>
