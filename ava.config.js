export default {
  files: ['*/*/lib/test/**/*.test.js'],
  timeout: '300s',
  concurrency: 6,
  workerThreads: false,
  require: ['./scripts/fixSeed.mjs'],
}
