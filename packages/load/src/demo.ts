import { createWorkspace } from './demo/callers.ts'
import { StepRunner } from './demo/step.ts'
import { runFailover, runFirstWrite, runWrongKeyLogin, runPlannedStop, runReadThroughAnotherVm, runTransaction, runKeyWithdrawal, type DemoContext } from './demo/steps.ts'
import { startFleet, type Fleet } from './fleet/start-fleet.ts'

const WORKSPACE = 'fjordlakk-demo'
const DATABASE = 'orders'
const RATE = { statementsPerSecond: 2_000, burst: 500 }

async function runSteps (context: DemoContext): Promise<void> {
  const { steps } = context
  await steps.runStep('write through the first proxy', async () => await runFirstWrite(context))
  await steps.runStep('read own write through another proxy', async () => await runReadThroughAnotherVm(context))
  await steps.runStep('refuse a foreign key', async () => await runWrongKeyLogin(context))
  await steps.runStep('commit a transaction', async () => await runTransaction(context))
  await steps.runStep('go on after the primary is killed', async () => await runFailover(context))
  await steps.runStep('withdraw a key', async () => await runKeyWithdrawal(context))
  await steps.runStep('planned stop', async () => await runPlannedStop(context))
}

function printConnectionCommands (fleet: Fleet, key: string): void {
  for (const v of fleet.vms) {
    process.stdout.write(`mysql --host=${fleet.host} --port=${v.callersPort} --user=${WORKSPACE} --password=${key} ${DATABASE}   # ${v.vm}\n`)
  }
  process.stdout.write(`object service: ${fleet.platformUrl}\nCtrl-C ends everything.\n`)
}

async function waitForInterrupt (): Promise<void> {
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
}

async function runDemo (keepRunning: boolean): Promise<boolean> {
  const steps = new StepRunner()
  let fleet: Fleet | undefined
  try {
    await steps.runStep('start a platform, three instances and three proxies', async () => {
      fleet = await startFleet({ vms: 3, databases: [DATABASE], onLine: process.env.CAMPHORPITCH_DEMO_LOG === undefined ? undefined : (name, line) => process.stderr.write(`${name} ${JSON.stringify(line)}\n`) })
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
