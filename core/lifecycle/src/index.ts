/** Ownership and ordered clean-up of everything a process opens. */
export {
  LifecycleManager,
  type CleanUpFault,
  type LifecycleManagerOptions,
} from './lifecycleManager.js'
export { stopOnSignals } from './stopOnSignals.js'
