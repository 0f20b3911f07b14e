/**
 * The file operations that the store uses, as an interface so that tests can inject faults and crashes between
 * them. Each call either takes full effect or rejects; a rejected call may have taken effect in part.
 */

/** A file open for reading and writing. */
export abstract class OpenFile {
  abstract read(offsetBytes: number, lengthBytes: number): Promise<Buffer>
  abstract write(bytes: Buffer, offsetBytes: number): Promise<void>
  abstract truncate(sizeBytes: number): Promise<void>
  /** Makes the contents and the size durable, but not the file name. */
  abstract sync(): Promise<void>
  abstract close(): Promise<void>
}

export abstract class FileSystem {
  /** Creates the folder and its parents if they are missing. */
  abstract makeFolder(folder: string): Promise<void>
  abstract listFolder(folder: string): Promise<string[]>
  /** Makes the folder's entries durable: files created, renamed and removed. */
  abstract syncFolder(folder: string): Promise<void>
  /** Opens a new file; rejects with the code `EEXIST` if the name exists. */
  abstract createFile(file: string): Promise<OpenFile>
  abstract openFile(file: string): Promise<OpenFile>
  abstract readFile(file: string): Promise<Buffer>
  abstract renameFile(from: string, to: string): Promise<void>
  abstract removeFile(file: string): Promise<void>
  /** Returns a token of this process that differs from that of any other process with the same id. */
  abstract readProcessToken(): Promise<string>
  abstract isProcessAlive(token: string): Promise<boolean>
}
