/** `nettlespur data-centre evacuate DATA_CENTRE` */
import { createEvacuationCommand } from './createEvacuationCommand.js'

export const dataCentreEvacuateCommand = createEvacuationCommand({
  name: 'evacuate',
  description: 'Start nothing more in a data centre; what runs there goes on',
  method: 'PUT',
  done: 'is evacuated: nothing more starts there',
})
