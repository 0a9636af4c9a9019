/** Calls `handle` with each line that arrives on a socket, without its CR LF. */
export function readLines (socket, handle) {
  let rest = ''
  socket.on('data', chunk => {
    const lines = (rest + chunk.toString('latin1')).split('\r\n')
    rest = lines.pop()
    for (const line of lines) handle(line)
  })
}

/** Splits a line at its first `count - 1` blanks; the last field holds the rest. */
export function splitFields (line, count) {
  const words = line.split(' ')
  return words.length <= count ? words : [...words.slice(0, count - 1), words.slice(count - 1).join(' ')]
}
