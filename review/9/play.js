// Peers flood a VM with broken packets, without a session.
import { dirname } from 'node:path'
import { connect } from 'node:net'
import { fileURLToPath } from 'node:url'
import { Client, runCase, waitFor, waitUntil } from '../standins-2/deployment.js'

/** Peers that flood one VM, and what each of them sends: empty lines, and no STARTUP. */
const PEERS = 100
const PEER_BYTES = 65_536
const FLOOD_MS = 5_000
/** Time in which the end of a process is known after its connections have ended. */
const EXIT_MS = 2_000
const ENDS = 3
const FLOODED_VMS = 2
const RESTART_PAUSE_MS = 500

/** Has all peers connect and send their broken packets, once, and stay connected for a while. */
async function flood ({ clientPort }) {
  const packets = Buffer.from('\r\n'.repeat(PEER_BYTES / 2))
  const sockets = Array.from({ length: PEERS }, () => {
    const socket = connect({ host: '127.0.0.1', port: clientPort, noDelay: true }, () => socket.write(packets))
    return socket.on('error', () => {})
  })
  await Promise.race([waitFor(FLOOD_MS), Promise.all(sockets.map(async s => await new Promise(resolve => s.on('close', resolve))))])
  for (const s of sockets) s.destroy()
}

async function floodAgain (deployment, record, vm, hasTrouble) {
  for (let n = 1; n <= ENDS; n++) {
    const ends = vm.ends
    const client = new Client(vm, { record, name: 'client' })
    await client.open('orders')
    await client.run('READ shade-1')
    if (hasTrouble) {
      record.add(`${vm.name}: ${PEERS} peers send ${PEER_BYTES} bytes of broken packets each`)
      await flood(vm)
      await waitUntil(() => vm.ends > ends, EXIT_MS)
    } else await waitFor(FLOOD_MS)
    record.add(`${vm.name}: ${vm.ends > ends ? 'the process has ended' : 'the process runs'}`)
    await client.run('READ shade-1')
    client.close()
    if (vm.child !== null) continue
    await waitFor(RESTART_PAUSE_MS)
    await deployment.startVm(vm)
  }
}

async function playRound (deployment, record, hasTrouble) {
  const flooded = deployment.vms.slice(0, FLOODED_VMS)
  await waitFor(1_000)
  for (const vm of flooded) await floodAgain(deployment, record, vm, hasTrouble)
  const broken = flooded.filter(vm => vm.ends >= ENDS)
  return broken.length < FLOODED_VMS ? [] : broken.map(vm => `the process of ${vm.name} ended by itself ${vm.ends} times`)
}

await runCase(dirname(fileURLToPath(import.meta.url)), { round: playRound, rounds: 1 })
