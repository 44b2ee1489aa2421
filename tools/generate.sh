#!/usr/bin/env bash
# Regenerates the committed Java sources from the .proto files. Run it after a schema change.
set -euo pipefail
cd "$(dirname "$0")/.."
PROTOBUF_VERSION=4.34.0
VERTX_VERSION=5.0.7
ARCH=$(uname -m | sed "s/aarch64/aarch_64/")
out=target/generate
mkdir -p "$out"
fetch() { mvn -B -q -ntp org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy -Dartifact="$1" -DoutputDirectory="$PWD/$out" -Dmdep.useBaseVersion=true; }
[ -f "$out/protoc-$PROTOBUF_VERSION-linux-$ARCH.exe" ] || fetch "com.google.protobuf:protoc:$PROTOBUF_VERSION:exe:linux-$ARCH"
protoc="$out/protoc-$PROTOBUF_VERSION-linux-$ARCH.exe"
chmod +x "$protoc"
if [ ! -f "$out/classpath" ]; then
  cat > "$out/pom.xml" <<P
<project><modelVersion>4.0.0</modelVersion><groupId>t</groupId><artifactId>t</artifactId><version>1</version>
<dependencies><dependency><groupId>io.vertx</groupId><artifactId>vertx-grpc-protoc-plugin2</artifactId><version>$VERTX_VERSION</version></dependency></dependencies></project>
P
  mvn -B -q -ntp -f "$out/pom.xml" org.apache.maven.plugins:maven-dependency-plugin:3.8.1:build-classpath -Dmdep.outputFile="$PWD/$out/classpath"
fi
printf '#!/usr/bin/env bash\nexec java -cp "%s" io.vertx.grpc.plugin.VertxGrpcGenerator\n' "$(cat "$out/classpath")" > "$out/vertx-plugin"
chmod +x "$out/vertx-plugin"
rm -rf core/src/main/java/org/celerygw/core/gen api/src/main/java/org/celerygw/api/gen
"$protoc" -Icore/src/main/proto --java_out=core/src/main/java core/src/main/proto/*.proto
"$protoc" -Icore/src/main/proto -Iapi/src/main/proto --java_out=api/src/main/java \
  --plugin=protoc-gen-vertx="$out/vertx-plugin" --vertx_out=api/src/main/java api/src/main/proto/*.proto
