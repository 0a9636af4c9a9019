import { createWorkspace } from './demo/workspace-clients.ts'
import { StepRunner } from './demo/step.ts'
import { runFailover, runFirstWrite, runWrongKeyLogin, runPlannedStop, runReadThroughAnotherVm, runTransaction, runKeyWithdrawal, type DemoContext } from './demo/steps.ts'
import { startFleet, type Fleet } from './fleet/start-fleet.ts'

const WORKSPACE = 'fjordlakk-demo'
const DATABASE = 'orders'
const RATE = { statementsPerSecond: 2_000, burst: 500 }

async function runSteps (context: DemoContext): Promise<void> {
  const { steps } = context
  await steps.runStep('write through the first proxy', async () => await runFirstWrite(context))
  await steps.runStep('read the write through another proxy', async () => await runReadThroughAnotherVm(context))
  await steps.runStep('refuse a login with a wrong key', async () => await runWrongKeyLogin(context))
  await steps.runStep('commit a transaction', async () => await runTransaction(context))
  await steps.runStep('fail over after the primary is killed', async () => await runFailover(context))
  await steps.runStep('refuse a client whose key is withdrawn', async () => await runKeyWithdrawal(context))
  await steps.runStep('stop the proxies as planned', async () => await runPlannedStop(context))
}

/** Prints the command with which a MySQL client connects to each proxy. */
function printConnectionCommands (fleet: Fleet, key: string): void {
  for (const v of fleet.vms) {
    process.stdout.write(`mysql --host=${fleet.host} --port=${v.callersPort} --user=${WORKSPACE} --password=${key} ${DATABASE}   # ${v.vm}\n`)
  }
  process.stdout.write(`object service: ${fleet.platformUrl}\nPress Ctrl-C to stop the fleet.\n`)
}

async function waitForInterrupt (): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
}

/** Starts a fleet and runs the demo's steps; with `keepRunning` prints how to connect instead and waits for an interrupt. Returns whether all steps succeeded. */
async function runDemo (keepRunning: boolean): Promise<boolean> {
  const steps = new StepRunner()
  let fleet: Fleet | undefined
  try {
    await steps.runStep('start a platform, three instances and three proxies', async () => {
      fleet = await startFleet({ vms: 3, databases: [DATABASE], onLogLine: process.env.CAMPHORPITCH_DEMO_LOG === undefined ? undefined : (name, line) => process.stderr.write(`${name} ${JSON.stringify(line)}\n`) })
      return 'as separate processes'
    })
    if (fleet === undefined) return false
    const workspaceKey = await createWorkspace(fleet, { workspace: WORKSPACE, databases: [DATABASE], rate: RATE })
    if (keepRunning) {
      printConnectionCommands(fleet, workspaceKey.key)
      await waitForInterrupt()
      return true
    }
    await runSteps({ fleet, workspace: WORKSPACE, database: DATABASE, workspaceKey, steps, acknowledged: [] })
    return !steps.hasFailed
  } finally {
    await fleet?.stop()
  }
}

const hasSucceeded = await runDemo(process.argv.includes('--keep'))
process.exit(hasSucceeded ? 0 : 1)
