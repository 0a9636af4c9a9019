// Fails the running test when a promise rejects without a handler. Mocha alone lets it pass.
process.on('unhandledRejection', reason => {
  throw reason instanceof Error ? reason : new Error(`promise rejected without a handler: ${String(reason)}`)
})
