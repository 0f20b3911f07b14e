#!/usr/bin/env node
import { main } from '@nettlespur/bench.suite'

process.exitCode = await main(process.argv.slice(2))
