#!/usr/bin/env node
import { comparePolicies } from '../lib/src/comparePolicies.js'

process.exitCode = comparePolicies(process.argv.slice(2))
