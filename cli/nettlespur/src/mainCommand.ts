/** The tree of all commands. */
import { createCommandGroup } from './cliCommand.js'
import { contractApplyCommand } from './commands/contractApply.js'
import { contractGetCommand } from './commands/contractGet.js'
import { contractListCommand } from './commands/contractList.js'
import { dataCentreEvacuateCommand } from './commands/dataCentreEvacuate.js'
import { dataCentreListCommand } from './commands/dataCentreList.js'
import { dataCentreRestoreCommand } from './commands/dataCentreRestore.js'
import { devCommand } from './commands/dev.js'
import { jobAnswerCommand } from './commands/jobAnswer.js'
import { jobCancelCommand } from './commands/jobCancel.js'
import { jobExplainCommand } from './commands/jobExplain.js'
import { jobGetCommand } from './commands/jobGet.js'
import { jobSubmitCommand } from './commands/jobSubmit.js'
import { jobWaitCommand } from './commands/jobWait.js'
import { keyCreateCommand } from './commands/keyCreate.js'
import { memberAddCommand } from './commands/memberAdd.js'
import { memberListCommand } from './commands/memberList.js'
import { memberRemoveCommand } from './commands/memberRemove.js'
import { reportCommand } from './commands/report.js'
import { requestSendCommand } from './commands/requestSend.js'
import { settingsCheckCommand } from './commands/settingsCheck.js'
import { statusCommand } from './commands/status.js'
import { upstreamListCommand } from './commands/upstreamList.js'

export const version = '0.1.0'

const contractCommand = createCommandGroup({
  name: 'contract',
  description: 'Contracts, from which every limit of a workspace follows',
  commands: { apply: contractApplyCommand, get: contractGetCommand, list: contractListCommand },
  examples: ['nettlespur contract apply demo.yaml --wait in-force'],
})

const jobCommand = createCommandGroup({
  name: 'job',
  description: 'Gang jobs',
  commands: {
    submit: jobSubmitCommand,
    get: jobGetCommand,
    wait: jobWaitCommand,
    answer: jobAnswerCommand,
    cancel: jobCancelCommand,
    explain: jobExplainCommand,
  },
  examples: ['nettlespur job submit --workspace demo --accelerators 4'],
})

const dataCentreCommand = createCommandGroup({
  name: 'data-centre',
  description: 'Data centres, and their evacuation',
  commands: {
    list: dataCentreListCommand,
    evacuate: dataCentreEvacuateCommand,
    restore: dataCentreRestoreCommand,
  },
  examples: ['nettlespur data-centre evacuate dc-2'],
})

const memberCommand = createCommandGroup({
  name: 'member',
  description: 'Control instances that hold the replicated state',
  commands: { list: memberListCommand, add: memberAddCommand, remove: memberRemoveCommand },
  examples: ['nettlespur member list'],
})

export const mainCommand = createCommandGroup({
  name: 'nettlespur',
  description: 'Schedules multi-accelerator jobs under workspace guarantees',
  commands: {
    dev: devCommand,
    contract: contractCommand,
    job: jobCommand,
    request: createCommandGroup({
      name: 'request',
      description: 'Short requests',
      commands: { send: requestSendCommand },
      examples: ['nettlespur request send --workspace demo --body hello'],
    }),
    upstream: createCommandGroup({
      name: 'upstream',
      description: 'Upstreams, which run the work',
      commands: { list: upstreamListCommand },
      examples: ['nettlespur upstream list'],
    }),
    'data-centre': dataCentreCommand,
    status: statusCommand,
    report: reportCommand,
    member: memberCommand,
    settings: createCommandGroup({
      name: 'settings',
      description: 'Settings files',
      commands: { check: settingsCheckCommand },
      examples: ['nettlespur settings check control.yaml'],
    }),
    key: createCommandGroup({
      name: 'key',
      description: 'Keys of callers, operators, upstreams and the processes themselves',
      commands: { create: keyCreateCommand },
      examples: ['nettlespur key create --file operator.key'],
    }),
  },
  examples: ['nettlespur status', 'nettlespur contract apply demo.yaml --help'],
})
