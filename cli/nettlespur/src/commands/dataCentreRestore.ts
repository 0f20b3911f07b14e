/** `nettlespur data-centre restore DATA_CENTRE` */
import { createEvacuationCommand } from './createEvacuationCommand.js'

export const dataCentreRestoreCommand = createEvacuationCommand({
  name: 'restore',
  description: 'Take an evacuated data centre back',
  method: 'DELETE',
  done: 'takes new work',
})
