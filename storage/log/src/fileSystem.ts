/**
 * The few file operations the store uses, so that tests can put faults and crashes between them. Each call
 * either takes full effect or rejects; a rejected one may have taken effect in part.
 */

/** A file open for reading and writing. */
export abstract class OpenFile {
  abstract read(offsetBytes: number, lengthBytes: number): Promise<Buffer>
  abstract write(bytes: Buffer, offsetBytes: number): Promise<void>
  abstract truncate(sizeBytes: number): Promise<void>
  /** Makes the contents and the size durable; not the name. */
  abstract sync(): Promise<void>
  abstract close(): Promise<void>
}

export abstract class FileSystem {
  /** Makes the folder and those above it where they are missing. */
  abstract makeFolder(folder: string): Promise<void>
  abstract listFolder(folder: string): Promise<string[]>
  /** Makes the names in the folder durable: files created, renamed and removed. */
  abstract syncFolder(folder: string): Promise<void>
  /** Opens a new file; rejects with the code `EEXIST` where there is one of that name. */
  abstract createFile(file: string): Promise<OpenFile>
  abstract openFile(file: string): Promise<OpenFile>
  abstract readFile(file: string): Promise<Buffer>
  abstract renameFile(from: string, to: string): Promise<void>
  abstract removeFile(file: string): Promise<void>
  /** Names this process so that another life of the same process id has another name. */
  abstract readProcessToken(): Promise<string>
  abstract isProcessAlive(token: string): Promise<boolean>
}
