package org.celerygw.daemon.peer;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.List;
import org.celerygw.api.gen.peer.Frame;

/** Frames with their length as a varint in front; refuses a length above the limit before reading on. */
final class FrameCodec extends ByteToMessageCodec<Frame> {
    private static final int MAX_VARINT_BYTES = 5;

    private final int maxFrameBytes;

    FrameCodec(int maxFrameBytes) {
        super(Frame.class);
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) throws IOException {
        int length = frame.getSerializedSize();
        out.ensureWritable(CodedOutputStream.computeUInt32SizeNoTag(length) + length);
        CodedOutputStream coded = CodedOutputStream.newInstance(new ByteBufOutputStream(out), 4096);
        coded.writeUInt32NoTag(length);
        frame.writeTo(coded);
        coded.flush();
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws InvalidProtocolBufferException {
        in.markReaderIndex();
        int length = length(in);
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("a frame of " + length + " bytes exceeds the limit");
        }
        if (length < 0 || in.readableBytes() < length) {
            in.resetReaderIndex();
            return;
        }
        out.add(Frame.parseFrom(in.nioBuffer(in.readerIndex(), length)));
        in.skipBytes(length);
    }

    /** Returns the length, or -1 while its bytes are not all there. */
    private static int length(ByteBuf in) {
        long value = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte b = in.readByte();
            value |= (long) (b & 0x7f) << (7 * i);
            if (b >= 0) {
                return (int) Math.min(value, Integer.MAX_VALUE);
            }
        }
        throw new CorruptedFrameException("a frame's length has more than five bytes");
    }
}
